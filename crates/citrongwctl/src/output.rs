//! Output as tables for operators, or as JSON for scripts.

use serde::Serialize;

/// Space between columns.
const COLUMN_GAP: &str = "  ";

/// Prints a value as JSON.
pub(crate) fn json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Table whose first row contains the column titles.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

/// Creates a table with the column titles.
pub(crate) fn table(titles: &[&str]) -> Table {
    Table { rows: vec![titles.iter().map(|it| (*it).to_owned()).collect()] }
}

impl Table {
    /// Adds a row.
    pub(crate) fn add<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// Prints the table.
    pub(crate) fn print(&self) {
        print!("{}", self.text());
    }

    fn text(&self) -> String {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows.iter().map(|row| row[column].chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }
}

#[cfg(test)]
mod tests;
