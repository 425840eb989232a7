//! The `check` command: checks a site file with the same code by which the forwarder loads it.

use super::{print, CommandError, Files};
use crate::config_error::{error_lines, ConfigError};
use clap::Args;
use serde_json::{json, Value};

#[derive(Args)]
pub struct CheckArgs {
    #[command(flatten)]
    files: Files,
}

fn error_json(error: &ConfigError) -> Value {
    let at = error.at;
    json!({"line": at.line, "column": at.column, "code": error.code.as_str(), "reason": error.reason})
}

impl CheckArgs {
    pub fn run(self) -> Result<(), CommandError> {
        let platform = self.files.platform()?;
        let site_result = self.files.site(&platform)?;
        let file = self.files.site.display().to_string();
        let errors = site_result.as_ref().err().map_or(&[][..], Vec::as_slice);
        if self.files.json {
            let route_count = site_result.as_ref().map_or(0, |site| site.routes.routes().len());
            let errors_json: Vec<Value> = errors.iter().map(error_json).collect();
            print(
                &json!({"file": file, "ok": site_result.is_ok(), "routes": route_count, "breaches": errors_json})
                    .to_string(),
            );
        } else if let Ok(site) = &site_result {
            print(&format!("{file}: {} routes, nothing against it", site.routes.routes().len()));
        } else {
            print(&error_lines(&self.files.site, errors));
            let count = errors.len();
            eprintln!(
                "cedarbridge: {file}: rejected with {count} error{}",
                if count == 1 { "" } else { "s" }
            );
        }
        site_result.map(drop).map_err(|_| CommandError::AlreadyPrinted)
    }
}
