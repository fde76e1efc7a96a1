//! Lists the tenants with their shares of the service, then prints changes as they occur.
//!
//! `SANDDYKE_TOKEN=… cargo run -p sanddyke-client --example tenants -- http://127.0.0.1:8081`

use sanddyke_client::{Changes, Client, Error, Options};
use std::time::Duration;

fn main() -> Result<(), Error> {
    let url = std::env::args().nth(1).unwrap_or_else(|| "http://127.0.0.1:8081".to_owned());
    let token = std::env::var("SANDDYKE_TOKEN").unwrap_or_default();
    let client = Client::new(Options { url, token, ..Options::default() })?;
    for tenant in client.tenants("") {
        let tenant = tenant?;
        println!("{:<24} {:>6.2} %", tenant["name"], tenant["share"].as_f64().unwrap_or(0.0) * 100.0);
    }
    let mut after = None;
    loop {
        let Changes { changes, next } = client.watch(after, Duration::from_secs(20))?;
        for change in changes {
            println!("{change}");
        }
        after = Some(next);
    }
}
