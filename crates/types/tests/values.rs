//! Parsing and printing of the value types, and saturating arithmetic of time spans.

use carawayseam_types::{Bytes, Clock, Digest, EngineId, Millis, Permille, Tokens, TokensPerSecond};

/// Defines a test that a text parses and prints as the same text.
macro_rules! round_trip {
    ($name:ident, $type:ty, $text:literal) => {
        #[test]
        fn $name() {
            let value: $type = $text.parse().expect("the text is valid");
            assert_eq!(value.to_string(), $text);
        }
    };
}

/// Defines a test that a text does not parse.
macro_rules! rejected {
    ($name:ident, $type:ty, $text:literal) => {
        #[test]
        fn $name() {
            let error = $text.parse::<$type>().expect_err("the text is not valid");
            assert!(error.to_string().contains("expected"), "{error}");
        }
    };
}

round_trip!(millis_in_ms, Millis, "250ms");
round_trip!(millis_in_seconds, Millis, "2s");
round_trip!(millis_in_hours, Millis, "24h");
round_trip!(permille, Permille, "10‰");
round_trip!(engine_name, EngineId, "model-a1");
round_trip!(token_rate, TokensPerSecond, "40.0/s");
round_trip!(digest, Digest, "000000000000000000000000000000ff");

rejected!(millis_without_unit, Millis, "250");
rejected!(millis_overflow, Millis, "18446744073709551615h");
rejected!(permille_over_maximum, Permille, "1001");
rejected!(empty_name, EngineId, "");
rejected!(name_with_slash, EngineId, "a/b");
rejected!(size_without_unit, Bytes, "12");

#[test]
fn spans_saturate_when_the_clock_steps_back() {
    assert_eq!(Millis(5).since(Millis(9)), Millis::ZERO);
    assert_eq!(Millis::MAX + Millis(1), Millis::MAX);
}

#[test]
fn manual_clock_is_shared_by_clones() {
    let clock = Clock::manual(Millis(10));
    clock.clone().set(Millis(20));
    assert_eq!(clock.now(), Millis(20));
}

#[test]
fn zero_rate_takes_forever() {
    assert_eq!(TokensPerSecond(0.0).time_for(Tokens(1)), Millis::MAX);
}
