use comfy_table::Table;
use comfy_table::presets::NOTHING;

const WIDTH_COLUMNS: u16 = 80;

/// Creates a plain table that fits a terminal of 80 columns.
pub(super) fn new_table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_width(WIDTH_COLUMNS);
    table.set_content_arrangement(comfy_table::ContentArrangement::Dynamic);
    table.set_header(headings);
    table
}
