//! The lines of fields in a document's text.

/// Returns the line of a field, such as `engines[2].version` or `limits.max_body`, starting at 1.
///
/// A field that is not written has the line of its entry or section, and `None` if that is not written either.
pub(crate) fn line_of(text: &str, field: &str) -> Option<u64> {
    let (path, leaf) = field.rsplit_once('.').unwrap_or((field, ""));
    let (section, index) = match path.split_once('[') {
        Some((section, rest)) => (section, rest.split_once(']').and_then(|(n, _)| n.parse().ok())),
        None => (path, None),
    };
    let lines: Vec<&str> = text.lines().collect();
    let start = lines
        .iter()
        .position(|line| line.starts_with(&format!("{section}:")))?;
    let below = lines[start + 1..]
        .iter()
        .take_while(|line| line.starts_with([' ', '-', '#']) || line.is_empty());
    let end = start + 1 + below.count();
    let (first, last) = match index {
        Some(index) => entry_lines(&lines[start + 1..end], index).map_or((start, start + 1), |(from, to)| {
            (start + 1 + from, start + 1 + to)
        }),
        None => (start, end),
    };
    let named = |line: &&str| {
        let line = line.trim_start_matches([' ', '-', '{']);
        !leaf.is_empty() && line.starts_with(&format!("{leaf}:"))
    };
    let offset = lines[first..last].iter().position(named).unwrap_or(0);
    Some((first + offset) as u64 + 1)
}

/// Returns the first line of an entry of a list and the line after its last one.
fn entry_lines(lines: &[&str], index: usize) -> Option<(usize, usize)> {
    let indent = |line: &str| line.len() - line.trim_start().len();
    let is_item = |line: &str| line.trim_start().starts_with("- ");
    // Entries may contain lists, whose items are indented further.
    let depth = lines.iter().find(|line| is_item(line)).map(|line| indent(line))?;
    let starts = lines.iter().enumerate();
    let starts = starts.filter(|(_, line)| is_item(line) && indent(line) == depth);
    let mut starts = starts.map(|(at, _)| at).skip(index);
    let first = starts.next()?;
    Some((first, starts.next().unwrap_or(lines.len())))
}
