use dotterelhook_peer::membership::Member;

use super::table::new_table;
use crate::cli::CommonArguments;
use crate::cli::Failure;

/// Prints the daemons and what they have in force.
pub(crate) async fn status(arguments: pico_args::Arguments) -> Result<(), Failure> {
    let mut arguments = CommonArguments::parse(arguments)?;
    let daemon = arguments.daemon()?;
    let is_json = arguments.is_json;
    arguments.finish()?;
    let members: Vec<Member> = daemon.get("/members").await?.check()?.decode()?;
    if is_json {
        println!(
            "{}",
            serde_json::to_string_pretty(&members).map_err(Failure::usage)?
        );
        return Ok(());
    }
    let mut table = new_table(&["MEMBER", "DOMAIN", "STATE", "OFFSET", "HEARD", "LOG"]);
    for member in &members {
        let heartbeat = &member.heartbeat;
        let log_contact = match heartbeat.log_contact_age_ms {
            Some(age_ms) => format!("{age_ms} ms"),
            None => "never".to_owned(),
        };
        table.add_row([
            heartbeat.member.to_string(),
            heartbeat.failure_domain.to_string(),
            member.state.to_string(),
            heartbeat.config_offset.to_string(),
            format!("{} ms", member.age_ms),
            log_contact,
        ]);
    }
    println!("{table}");
    Ok(())
}
