//! Stand-in of the platform for the cases of the second review: `review-site-2 CASE EDGE FOLDER RECORD TROUBLE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod host;
mod packet;
mod site;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, edge, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-site-2 CASE EDGE FOLDER RECORD TROUBLE");
        std::process::exit(2);
    };
    let code = match cases::run(case, edge.into(), folder.into(), trouble != "0") {
        Ok((text, broken)) => {
            println!("{}", text.lines().next().unwrap_or_default());
            if let Err(error) = std::fs::write(record, text) {
                eprintln!("cannot write {record}: {error}");
                std::process::exit(2);
            }
            i32::from(broken)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            let _ = std::fs::write(record, format!("the case could not run: {error}\n"));
            2
        }
    };
    std::process::exit(code);
}
