//! The pages of the store's latest changes that peers request.

use carawayseam_dispatch::history::{ChangesAfter, History};
use carawayseam_types::{StoreEra, StoreRevision};

const ERA: StoreEra = StoreEra(4);

const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(ERA, number)
}

fn history() -> History<&'static str> {
    let mut history = History::since(revision(10));
    for (number, change) in [(12, "a"), (13, "b"), (13, "c"), (15, "d")] {
        history.push(revision(number), change);
    }
    history.advance(revision(17));
    history
}

fn page_after(history: &History<&'static str>, after: u64, max_bytes: usize) -> Option<(u64, bool, String)> {
    let ChangesAfter::Page(page) = history.after(revision(after), max_bytes, |_| 1) else {
        return None;
    };
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
    let mut history = History::since(revision(0));
    for number in 1..=5_000 {
        history.push(revision(number), "x");
        history.push(revision(number), "y");
    }
    assert_eq!(
        history.after(revision(0), usize::MAX, |_| 1),
        ChangesAfter::NotKept
    );
    let (end, _, kept) = page_after(&history, 4_900, usize::MAX).expect("the latest changes are kept");
    assert_eq!((end, kept.len()), (5_000, 200));
}

#[test]
fn a_known_change_is_ignored() {
    let mut history = history();
    history.push(revision(13), "again");
    assert_eq!(page_after(&history, 10, 9), Some((17, true, "abcd".to_owned())));
}

/// Guards against answers that confirm a state of an earlier era, whose revisions are higher than those known here.
#[test]
fn a_revision_of_another_era_gets_no_page() {
    for asked in [
        StoreRevision::new(StoreEra(3), 90),
        StoreRevision::new(StoreEra(5), 12),
    ] {
        assert_eq!(history().after(asked, 9, |_| 1), ChangesAfter::OtherEra(ERA));
    }
}

#[test]
fn a_change_of_another_era_is_ignored() {
    let mut history = history();
    history.push(StoreRevision::new(StoreEra(5), 30), "of a later era");
    history.advance(StoreRevision::new(StoreEra(3), 90));
    assert_eq!(history.end(), revision(17));
    assert_eq!(page_after(&history, 10, 9), Some((17, true, "abcd".to_owned())));
}
