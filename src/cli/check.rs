//! `check`: whether a site file may be loaded, by the very check that the forwarder makes.

use super::{print, CommandError, Files};
use crate::config_error::{error_lines, ConfigError};
use clap::Args;
use serde_json::{json, Value};

#[derive(Args)]
pub struct CheckArgs {
    #[command(flatten)]
    files: Files,
}

fn as_json(error: &ConfigError) -> Value {
    let at = error.at;
    json!({"line": at.line, "column": at.column, "code": error.code.as_str(), "reason": error.reason})
}

impl CheckArgs {
    pub fn run(self) -> Result<(), CommandError> {
        let platform = self.files.platform()?;
        let read = self.files.site(&platform)?;
        let file = self.files.site.display().to_string();
        let errors = read.as_ref().err().map_or(&[][..], Vec::as_slice);
        if self.files.json {
            let entries = read.as_ref().map_or(0, |s| s.routes.routes().len());
            let all: Vec<Value> = errors.iter().map(as_json).collect();
            print(&json!({"file": file, "ok": read.is_ok(), "routes": entries, "breaches": all}).to_string());
        } else if let Ok(site) = &read {
            print(&format!("{file}: {} routes, nothing against it", site.routes.routes().len()));
        } else {
            print(&error_lines(&self.files.site, errors));
            let count = errors.len();
            eprintln!("cedarbridge: {file}: refused for {count} reason{}", if count == 1 { "" } else { "s" });
        }
        read.map(drop).map_err(|_| CommandError::AlreadyPrinted)
    }
}
