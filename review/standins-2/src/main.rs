//! The cases of the second review: `review-standins-2 CASE FOLDER`, in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod gateway;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// What a case needs.
pub struct Setup {
    /// The folder of the case, which takes the record.
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub temporary: PathBuf,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    let run = || -> Result<bool, Box<dyn std::error::Error>> {
        std::fs::create_dir_all(&temporary)?;
        let setup = Setup {
            record: Record::create(&PathBuf::from(folder))?,
            temporary: temporary.clone(),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        match case.as_str() {
            "revoked" => cases::revoked::run(&setup),
            "grace" => cases::grace::run(&setup),
            "window" => cases::window::run(&setup),
            "blame" => cases::blame::run(&setup),
            "silence" => cases::silence::run(&setup),
            _ => Err("no such case".into()),
        }
    };
    let result = run();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match result {
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
