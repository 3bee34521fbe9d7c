//! Plain-text tables.

/// Formats rows in columns that are as wide as their widest cells. The first row is the heading.
///
/// ```
/// use foldhavenctl::table::format_table;
/// let rows = [["vm", "state"], ["west-1", "serving"]];
/// assert_eq!(format_table(&rows), "vm      state\nwest-1  serving\n");
/// ```
pub fn format_table<R, C>(rows: &[R]) -> String
where
    R: AsRef<[C]>,
    C: AsRef<str>,
{
    let columns = rows.iter().map(|row| row.as_ref().len()).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.as_ref().get(column));
        cells.map(|cell| cell.as_ref().chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.as_ref().iter().zip(&widths);
        let line: Vec<String> =
            cells.map(|(cell, width)| format!("{:<width$}", cell.as_ref())).collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}
