//! The pages stay true to the source: paths that they name exist, and `docs/logs.md` lists each log line.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders whose files the pages name by their path from the root.
const ROOTS: [&str; 10] =
    [".ci", "benches", "crates", "deploy", "docs", "examples", "fuzz", "scenarios", "src", "tests"];
/// Pages that tell of the past keep the paths of their time.
const HISTORY: [&str; 2] = ["CHANGELOG.md", "incidents"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder, in order.
fn files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let mut found: Vec<PathBuf> =
        entries.flat_map(|path| if path.is_dir() { files(&path) } else { vec![path] }).collect();
    found.sort();
    found
}

fn pages() -> Vec<PathBuf> {
    let top = fs::read_dir(root()).expect("a folder").map(|entry| entry.expect("an entry").path());
    let all = top.filter(|path| path.is_file()).chain(files(&root().join("docs")));
    let present = |path: &PathBuf| !HISTORY.iter().any(|past| path.iter().any(|part| part == *past));
    all.filter(|path| path.extension().is_some_and(|e| e == "md")).filter(present).collect()
}

/// The path that a word of a page names, if it is one.
fn named_path(word: &str) -> Option<&str> {
    let path = word.split(['#', ':']).next()?;
    let plain = path.chars().all(|c| c.is_ascii_alphanumeric() || "./_-".contains(c));
    let below_root =
        ROOTS.iter().any(|root| path.strip_prefix(root).is_some_and(|rest| rest.starts_with('/')));
    (plain && below_root).then_some(path)
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

/// A call of a log macro in the source.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogLine {
    message: String,
    level: &'static str,
    keys: Vec<String>,
    file: String,
}

impl LogLine {
    fn row(&self) -> String {
        let keys: Vec<String> = self.keys.iter().map(|key| format!("`{key}`")).collect();
        format!("| {} | {} | {} | `{}` |", self.message, self.level, keys.join(" "), self.file)
    }
}

/// The arguments of a macro whose bracket is open at the start of a text.
fn arguments(text: &str) -> &str {
    let (mut depth, mut quoted, mut escaped) = (1, false, false);
    for (at, c) in text.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if quoted => escaped = true,
            '"' => quoted = !quoted,
            '(' if !quoted => depth += 1,
            ')' if !quoted => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[..at];
        }
    }
    panic!("a macro without an end");
}

/// The texts in quotes, each with what follows it.
fn quoted(text: &str) -> Vec<(&str, &str)> {
    let mut found = Vec::new();
    let mut rest = text;
    while let Some((_, more)) = rest.split_once('"') {
        let Some((quote, behind)) = more.split_once('"') else { break };
        found.push((quote, behind));
        rest = behind;
    }
    found
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
                let quotes = quoted(arguments(call));
                let Some((message, _)) = quotes.first() else { continue };
                let keys = quotes[1..].iter().filter(|(_, behind)| behind.trim_start().starts_with("=>"));
                let keys = keys.map(|(key, _)| (*key).to_owned()).collect();
                lines.insert(LogLine { message: (*message).to_owned(), level, keys, file: file.clone() });
            }
        }
    }
    lines
}

/// The table is written anew by `WRITE_LOG_TABLE=1 cargo test --test documentation`.
#[test]
fn the_page_of_log_lines_lists_each_of_them() {
    const HEAD: &str = "| message | level | keys | written in |\n| --- | --- | --- | --- |\n";
    let page = root().join("docs/logs.md");
    let text = fs::read_to_string(&page).expect("read");
    let start = text.find(HEAD).expect("the table") + HEAD.len();
    let end = text[start..].find("\n\n").map_or(text.len(), |at| start + at + 1);
    let rows: String = log_lines().iter().map(|line| line.row() + "\n").collect();
    if std::env::var_os("WRITE_LOG_TABLE").is_some() {
        fs::write(&page, format!("{}{rows}{}", &text[..start], &text[end..])).expect("written");
        return;
    }
    assert_eq!(text[start..end].lines().collect::<Vec<_>>(), rows.lines().collect::<Vec<_>>());
}
