//! Checks the documentation against the source: paths that pages name exist, and `docs/logs.md` lists each log line.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The top folders. A word of a page that begins with one of them is a path from the root.
const TOP_FOLDERS: [&str; 10] =
    [".ci", "benches", "crates", "deploy", "docs", "examples", "fuzz", "scenarios", "src", "tests"];
/// Pages and folders of pages about the past, which may name paths that no longer exist.
const HISTORY_PAGES: [&str; 2] = ["CHANGELOG.md", "incidents"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder, sorted by path.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let mut found: Vec<PathBuf> =
        entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect();
    found.sort();
    found
}

/// The pages in the top folder and in `docs/`, without those about the past.
fn pages() -> Vec<PathBuf> {
    let top_entries = fs::read_dir(root()).expect("a folder").map(|entry| entry.expect("an entry").path());
    let candidates = top_entries.filter(|path| path.is_file()).chain(files(&root().join("docs")));
    let is_current = |path: &PathBuf| !HISTORY_PAGES.iter().any(|past| path.iter().any(|part| part == *past));
    candidates.filter(|path| path.extension().is_some_and(|e| e == "md")).filter(is_current).collect()
}

/// The path in a word of a page, without an anchor or a line number; `None` if the word is not a path below a top folder.
fn named_path(word: &str) -> Option<&str> {
    let path = word.split(['#', ':']).next()?;
    let is_plain = path.chars().all(|c| c.is_ascii_alphanumeric() || "./_-".contains(c));
    let is_below_top_folder =
        TOP_FOLDERS.iter().any(|folder| path.strip_prefix(folder).is_some_and(|rest| rest.starts_with('/')));
    (is_plain && is_below_top_folder).then_some(path)
}

#[test]
fn every_path_that_a_page_names_exists() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = fs::read_to_string(&page).expect("read");
        let words = text.split(|c: char| c.is_whitespace() || "`()[]|,;\"'<>*".contains(c));
        for path in words.map(|word| word.trim_end_matches('.')).filter_map(named_path) {
            if !root().join(path).exists() {
                missing.push(format!(
                    "{}: {path}",
                    page.strip_prefix(root()).expect("below the root").display()
                ));
            }
        }
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

/// A call of a log macro in the source, as a row of the table in `docs/logs.md`.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    message: String,
    level: &'static str,
    keys: Vec<String>,
    file: String,
}

impl LogLine {
    fn table_row(&self) -> String {
        let keys: Vec<String> = self.keys.iter().map(|key| format!("`{key}`")).collect();
        format!("| {} | {} | {} | `{}` |", self.message, self.level, keys.join(" "), self.file)
    }
}

/// The arguments of a macro call: the text up to the closing parenthesis. `text` starts after the opening one.
fn macro_arguments(text: &str) -> &str {
    let (mut depth, mut is_quoted, mut is_escaped) = (1, false, false);
    for (offset, c) in text.char_indices() {
        match c {
            _ if is_escaped => is_escaped = false,
            '\\' if is_quoted => is_escaped = true,
            '"' => is_quoted = !is_quoted,
            '(' if !is_quoted => depth += 1,
            ')' if !is_quoted => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..offset];
        }
    }
    panic!("a macro call without a closing parenthesis");
}

/// The string literals in a text, each with the text after it.
fn string_literals(text: &str) -> Vec<(&str, &str)> {
    let mut literals = Vec::new();
    let mut rest = text;
    while let Some((_, after_quote)) = rest.split_once('"') {
        let Some((literal, after_literal)) = after_quote.split_once('"') else { break };
        literals.push((literal, after_literal));
        rest = after_literal;
    }
    literals
}

fn log_lines() -> BTreeSet<LogLine> {
    let mut lines = BTreeSet::new();
    for path in files(&root().join("src")) {
        let text = fs::read_to_string(&path).expect("read");
        let file = path.strip_prefix(root()).expect("below the root").display().to_string();
        for level in ["debug", "info", "warn", "error", "crit"] {
            for (_, call) in
                text.match_indices(&format!("{level}!(")).map(|(at, call)| (at, &text[at + call.len()..]))
            {
                let literals = string_literals(macro_arguments(call));
                let Some((message, _)) = literals.first() else { continue };
                let keys = literals[1..].iter().filter(|(_, after)| after.trim_start().starts_with("=>"));
                let keys = keys.map(|(key, _)| (*key).to_owned()).collect();
                lines.insert(LogLine { message: (*message).to_owned(), level, keys, file: file.clone() });
            }
        }
    }
    lines
}

/// `WRITE_LOG_TABLE=1 cargo test --test documentation` writes the table from the source.
#[test]
fn the_page_of_log_lines_lists_each_of_them() {
    const TABLE_HEAD: &str = "| message | level | keys | written in |\n| --- | --- | --- | --- |\n";
    let page = root().join("docs/logs.md");
    let text = fs::read_to_string(&page).expect("read");
    let start = text.find(TABLE_HEAD).expect("the table") + TABLE_HEAD.len();
    let end = text[start..].find("\n\n").map_or(text.len(), |at| start + at + 1);
    let rows: String = log_lines().iter().map(|line| line.table_row() + "\n").collect();
    if std::env::var_os("WRITE_LOG_TABLE").is_some() {
        fs::write(&page, format!("{}{rows}{}", &text[..start], &text[end..])).expect("written");
        return;
    }
    assert_eq!(text[start..end].lines().collect::<Vec<_>>(), rows.lines().collect::<Vec<_>>());
}
