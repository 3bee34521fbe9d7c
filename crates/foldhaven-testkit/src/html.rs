//! HTML shared by the pages of all experiments.

/// Returns the start of a page with a title and a table with the given columns, up to and including
/// the header row.
pub fn page_head(title: &str, columns: &[&str]) -> String {
    let cells: String = columns.iter().map(|column| format!("<th>{column}</th>")).collect();
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>body{{font:15px sans-serif;margin:2em}}td,th{{padding:.3em .8em;text-align:right}}\
         </style></head><body>\n<h1>{title}</h1>\n<table><tr>{cells}</tr>\n"
    )
}
