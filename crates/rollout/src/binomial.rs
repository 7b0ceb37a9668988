//! Log-likelihoods of sequences of hits and misses.

use crate::sequential::Trials;

/// Misses added to the prior, which make small rates likelier than large ones.
const PRIOR_MISSES: u64 = 5;
/// Log-factorials of numbers below this are summed exactly; others are approximated.
const EXACT_FACTORIAL_LIMIT: u64 = 16;

/// Returns the log-likelihood of the trials, in their order, at a rate between 0 and 1.
pub(crate) fn ln_likelihood(trials: Trials, rate: f64) -> f64 {
    let misses = trials.total - trials.hits;
    trials.hits as f64 * rate.ln() + misses as f64 * (-rate).ln_1p()
}

/// Returns the log-likelihood of the trials, in their order, averaged uniformly over all rates.
pub(crate) fn ln_average_likelihood(trials: Trials) -> f64 {
    let misses = trials.total - trials.hits;
    ln_factorial(trials.hits) + ln_factorial(misses) - ln_factorial(trials.total + 1)
}

/// Returns the log-likelihood of the trials, in their order, averaged over a prior that favours small rates.
///
/// A shared fault usually makes only a part of the requests fail.
pub(crate) fn ln_unusual_likelihood(trials: Trials) -> f64 {
    let with_prior = Trials {
        hits: trials.hits,
        total: trials.total + PRIOR_MISSES,
    };
    let prior = Trials {
        hits: 0,
        total: PRIOR_MISSES,
    };
    ln_average_likelihood(with_prior) - ln_average_likelihood(prior)
}

/// Returns the logarithm of the sum of two numbers given by their logarithms.
pub(crate) fn ln_sum(a: f64, b: f64) -> f64 {
    let (larger, smaller) = (a.max(b), a.min(b));
    larger + (smaller - larger).exp().ln_1p()
}

/// Returns `ln(n!)`, by Stirling's series from [`EXACT_FACTORIAL_LIMIT`] on, where its error is below 1e-8.
fn ln_factorial(n: u64) -> f64 {
    if n < EXACT_FACTORIAL_LIMIT {
        return (2..=n).map(|factor| (factor as f64).ln()).sum();
    }
    let x = n as f64;
    let series = 1.0 / (12.0 * x) - 1.0 / (360.0 * x.powi(3));
    x * x.ln() - x + 0.5 * (std::f64::consts::TAU * x).ln() + series
}
