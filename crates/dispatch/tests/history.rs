//! The pages of the store's latest changes that peers request.

use carawayseam_dispatch::history::History;

fn history() -> History<&'static str> {
    let mut history = History::since(10);
    for (revision, change) in [(12, "a"), (13, "b"), (13, "c"), (15, "d")] {
        history.push(revision, change);
    }
    history.advance(17);
    history
}

fn page_after(history: &History<&'static str>, after: u64, max_bytes: usize) -> Option<(u64, bool, String)> {
    let page = history.after(after, max_bytes, |_| 1)?;
    let text = page.changes.iter().map(|(_, change)| *change).collect();
    Some((page.end, page.is_complete, text))
}

macro_rules! page_test {
    ($name:ident: $after:expr, $max_bytes:expr => $page:expr) => {
        #[test]
        fn $name() {
            let expected: Option<(u64, bool, &str)> = $page;
            let expected = expected.map(|(end, is_complete, text)| (end, is_complete, text.to_owned()));
            assert_eq!(page_after(&history(), $after, $max_bytes), expected);
        }
    };
}

page_test!(a_page_from_the_begin_holds_all_changes: 10, 9 => Some((17, true, "abcd")));
page_test!(a_page_from_the_end_is_empty: 17, 9 => Some((17, true, "")));
page_test!(a_page_from_beyond_the_end_is_empty: 20, 9 => Some((20, true, "")));
page_test!(no_page_when_changes_were_dropped: 9, 9 => None);
page_test!(a_page_is_truncated_to_the_size_limit: 10, 3 => Some((13, false, "abc")));
page_test!(a_page_does_not_split_a_revision: 10, 2 => Some((12, false, "a")));
page_test!(no_page_when_the_first_revision_does_not_fit: 12, 1 => None);

#[test]
fn the_oldest_changes_are_dropped_by_complete_revisions() {
    let mut history = History::since(0);
    for revision in 1..=5_000 {
        history.push(revision, "x");
        history.push(revision, "y");
    }
    assert!(history.after(0, usize::MAX, |_| 1).is_none());
    let kept = history
        .after(4_900, usize::MAX, |_| 1)
        .expect("the latest changes are kept");
    assert_eq!((kept.end, kept.changes.len()), (5_000, 200));
}

#[test]
fn a_known_change_is_ignored() {
    let mut history = history();
    history.push(13, "again");
    assert_eq!(page_after(&history, 10, 9), Some((17, true, "abcd".to_owned())));
}
