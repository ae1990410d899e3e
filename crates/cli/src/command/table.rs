use comfy_table::Table;
use comfy_table::presets::NOTHING;

const TABLE_WIDTH_COLUMNS: u16 = 80;

/// Creates a table without borders that fits a terminal of 80 columns.
pub(super) fn new_table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_width(TABLE_WIDTH_COLUMNS);
    table.set_content_arrangement(comfy_table::ContentArrangement::Dynamic);
    table.set_header(headings);
    table
}
