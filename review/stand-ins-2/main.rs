//! Stand-ins of the cases of the second review: clients, servers, the operator and the platform, round real node processes.
//! Only the standard library is used. `review-2 CASE FOLDER`: plays the case and writes FOLDER/record.txt; exits with 1 if
//! the rule was broken, with 0 if it held, with 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.

mod empty_customers;
mod fleet;
mod grown_configuration;
mod http;
mod long_bodies;
mod record;
mod server;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&PathBuf::from(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let outcome = match case.as_str() {
        "empty-customers" => empty_customers::play(record.clone(), trouble),
        "grown-configuration" => grown_configuration::play(record.clone(), trouble),
        "long-bodies" => long_bodies::play(record.clone(), trouble),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(broken) => {
            let verdict = if broken { "the rule was broken" } else { "the rule held" };
            record.line(verdict);
            println!("{verdict}");
            ExitCode::from(u8::from(broken))
        }
        Err(reason) => {
            record.line(&format!("the case couldn't run: {reason}"));
            println!("the case couldn't run: {reason}");
            ExitCode::from(2)
        }
    }
}
