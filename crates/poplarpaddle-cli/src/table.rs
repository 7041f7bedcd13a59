//! Formats rows as a text table.

/// Returns the rows with aligned columns; the first row is the heading. Control characters are replaced by spaces, because
/// the cells come from other processes and must not control the terminal.
pub(crate) fn text(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.extend(line.trim_end().chars().map(|c| if c.is_control() { ' ' } else { c }));
        text.push('\n');
    }
    text
}
