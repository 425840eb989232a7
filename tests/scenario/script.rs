//! Words of a script: escapes, numbered ids, the text behind a word.

/// `\r` and `\n` as they are written in a line of a script.
pub fn unescape(text: &str) -> String {
    text.replace("\\r", "\r").replace("\\n", "\n")
}

/// `m*3` stands for m1, m2 and m3.
pub fn expand_ids(ids: &[&str]) -> Vec<String> {
    let each = |id: &&str| match id.split_once('*') {
        Some((name, count)) => {
            let count: usize = count.parse().expect("a number");
            (1..=count).map(|n| format!("{name}{n}")).collect()
        }
        None => vec![(*id).to_owned()],
    };
    ids.iter().flat_map(each).collect()
}

/// The text behind a word of a line.
pub fn text_behind<'a>(rest: &'a str, word: &str) -> &'a str {
    rest.split_once(word).expect("the word").1.trim_start()
}
