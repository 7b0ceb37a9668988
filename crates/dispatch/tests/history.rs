//! The store's latest changes, as peers ask for them.

use carawayseam_dispatch::history::History;

fn history() -> History<&'static str> {
    let mut history = History::since(10);
    for (revision, change) in [(12, "a"), (13, "b"), (13, "c"), (15, "d")] {
        history.push(revision, change);
    }
    history.advance(17);
    history
}

fn told(history: &History<&'static str>, after: u64, most: usize) -> Option<(u64, bool, String)> {
    let piece = history.after(after, most, |_| 1)?;
    let text = piece.changes.iter().map(|(_, change)| *change).collect();
    Some((piece.end, piece.is_complete, text))
}

macro_rules! tells {
    ($name:ident: $after:expr, $most:expr => $told:expr) => {
        #[test]
        fn $name() {
            let expected: Option<(u64, bool, &str)> = $told;
            let expected = expected.map(|(end, whole, text)| (end, whole, text.to_owned()));
            assert_eq!(told(&history(), $after, $most), expected);
        }
    };
}

tells!(all_changes_after_its_begin: 10, 9 => Some((17, true, "abcd")));
tells!(nothing_new_at_its_end: 17, 9 => Some((17, true, "")));
tells!(nothing_new_to_one_who_knows_more: 20, 9 => Some((20, true, "")));
tells!(nothing_when_changes_are_gone: 9, 9 => None);
tells!(a_part_that_fits: 10, 3 => Some((13, false, "abc")));
tells!(one_revision_is_told_together: 10, 2 => Some((12, false, "a")));
tells!(a_revision_that_does_not_fit_is_not_told: 12, 1 => None);

#[test]
fn the_oldest_changes_are_dropped_by_whole_revisions() {
    let mut history = History::since(0);
    for revision in 1..=5_000 {
        history.push(revision, "x");
        history.push(revision, "y");
    }
    assert!(history.after(0, usize::MAX, |_| 1).is_none());
    let kept = history.after(4_900, usize::MAX, |_| 1).expect("these are kept");
    assert_eq!((kept.end, kept.changes.len()), (5_000, 200));
}

#[test]
fn a_change_that_is_known_is_passed_over() {
    let mut history = history();
    history.push(13, "again");
    assert_eq!(told(&history, 10, 9), Some((17, true, "abcd".to_owned())));
}
