//! Helpers for the words of a script: escapes, ranges of ids, the text after a word.

/// Replaces the escapes `\r` and `\n` of a script's line with the characters.
pub fn unescape(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}

/// Expands ids such as `m*3`, which stands for m1, m2 and m3.
pub fn expand_ids(ids: &[&str]) -> Vec<String> {
    let expand = |id: &&str| match id.split_once('*') {
        Some((name, count)) => {
            let count: usize = count.parse().expect("a number follows the asterisk");
            (1..=count).map(|n| format!("{name}{n}")).collect()
        }
        None => vec![(*id).to_owned()],
    };
    ids.iter().flat_map(expand).collect()
}

/// Returns the text after the first occurrence of a word in a line.
pub fn text_after<'a>(rest: &'a str, word: &str) -> &'a str {
    rest.split_once(word).expect("the word is in the line").1.trim_start()
}
