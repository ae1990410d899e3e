const OVERVIEW: &str = "\
dotterelhook - the operator's command line

USAGE:
    dotterelhook COMMAND [OPTIONS]

COMMANDS:
    check     check settings, and compare them with a version
    publish   publish the changed documents of a directory of settings
    get       print the configuration in force
    history   print the outcomes of the newest publications
    status    print the daemons, the offset that each has in force, and evacuations
    evacuate  request that nothing starts in a failure domain, or end that
    jobs      print the runs and their progress
    explain   print the timeline of one job, or an overview, from log files
    report    print error budgets, or runs that failed, are overdue or wait

Each command has --help and --json.

EXIT CODES:
    0  done
    1  failed; nothing was changed
    2  the command line or a file is invalid
    3  unknown; the change may still take effect
    4  refused, not in force everywhere, or a failure domain can't be reached
    5  valid, but with findings (check --strict)
";

const CHECK: &str = "\
USAGE:
    dotterelhook check DIRECTORY|FILE [--hosts ADDRESS] [--strict]
        [--against VERSION|in-force --log ADDRESS]

The directory mirrors the tree of paths: TEAM/services/NAME.jsonc,
TEAM/jobs/NAME.jsonc and TEAM/quota.jsonc. All faults of all files are printed,
and entries that can never match or that contradict each other. These are no
faults: the exit code is 0, or 5 with --strict.
With --hosts, the platform's host list, sizes that fit no worker are faults, and
services without targets and quotas above the capacity are findings.
With --against, the settings are checked together with the rest of that version,
and the differences from it are printed.

EXAMPLE:
    dotterelhook check examples/config/habagat
    dotterelhook check booking/quota.jsonc --against in-force \\
        --log 127.0.0.1:7000
";

const PUBLISH: &str = "\
USAGE:
    dotterelhook publish [DIRECTORY] --log ADDRESS [--remove PATH]...
        [--hosts ADDRESS] [--dry-run] [--timeout-ms N] [--wait --daemon ADDRESS]

Prints the plan, then publishes only documents that differ from those in force.
A path that the directory lacks stays in force; only --remove removes it.
With --hosts, the platform's host list, sizes that fit no worker are refused.
With --wait, returns once every live daemon has the change in force.

EXAMPLE:
    dotterelhook publish examples/config/habagat --log 127.0.0.1:7000 --dry-run
";

const GET: &str = "\
USAGE:
    dotterelhook get [PATH] --log ADDRESS

EXAMPLE:
    dotterelhook get booking/services/booking --log 127.0.0.1:7000
";

const HISTORY: &str = "\
USAGE:
    dotterelhook history --log ADDRESS

EXAMPLE:
    dotterelhook history --log 127.0.0.1:7000
";

const STATUS: &str = "\
USAGE:
    dotterelhook status --daemon ADDRESS

The address is the admin address of any daemon. OFFSET is the configuration
offset that a daemon has in force, HEARD the age of its newest heartbeat, LOG
the age of its last contact with the platform's log. Exits with 4 if a failure
domain can't be reached from that daemon.

Evacuations follow, if there are any: requested, emptying (attempts still run),
empty or ended, with the version of the record, the time since the request, and
the number of running attempts with checkpoints and without. The numbers come
from a scheduler of the failure domain and are unknown if none answers.

EXAMPLE:
    dotterelhook status --daemon 127.0.0.1:7101
";

const EVACUATE: &str = "\
USAGE:
    dotterelhook evacuate DOMAIN --log ADDRESS [--end] [--timeout-ms N]
        [--daemon ADDRESS [--wait]]

Requests that no attempt starts on a worker of the failure domain, until the
same command with --end. Runs whose attempts can write checkpoints, and runs
that wait, leave for another failure domain while it has room; other attempts go
on to their end. status shows what still runs. With --daemon, a failure domain
without a daemon is an error; with --wait, returns once every live daemon has
the change in force.

EXAMPLE:
    dotterelhook evacuate laguna --log 127.0.0.1:7000 --daemon 127.0.0.1:7101
    dotterelhook evacuate laguna --log 127.0.0.1:7000 --end
";

const JOBS: &str = "\
USAGE:
    dotterelhook jobs --daemon ADDRESS

Queries every scheduler that the daemon lists, and names those without an
answer.

EXAMPLE:
    dotterelhook jobs --daemon 127.0.0.1:7101
";

const EXPLAIN: &str = "\
USAGE:
    dotterelhook explain ID [FILE]...
    dotterelhook explain --overview [FILE]...

Reads the logs of any number of hosts, from files or from the standard input,
and prints the lines about the job, its executors and the owners of its cell,
each line after its cause. Gaps, such as a run without an outcome, are listed at
the end. Exits with 1 if no line is about the job.

--overview counts, for each second, the submissions and cancellations that were
stored, refused or left unknown, the runs started, stopped, paced and lost, and
lists the changes of hosts, cells, executors and of the store.

EXAMPLE:
    dotterelhook explain 5c0e7a21d94b36f8 host-*.log
";

const REPORT: &str = "\
USAGE:
    dotterelhook report burn --daemon ADDRESS
    dotterelhook report losses --daemon ADDRESS

burn queries every front that the daemon lists and sums up, for each service and
window, the requests, the share answered within the objective, and the burn
rate: 1x spends the error budget exactly. Names the fronts without an answer;
the sums are then too low.

losses queries every scheduler that the daemon lists and prints the runs that
failed, are past their deadline, wait for a silent worker, or have a shard
without an owner.

EXAMPLE:
    dotterelhook report burn --daemon 127.0.0.1:7101 --json
    dotterelhook report losses --daemon 127.0.0.1:7101
";

/// Returns the help text of a command, or the overview of all commands.
pub(super) fn text(command: Option<&str>) -> &'static str {
    match command {
        Some("check") => CHECK,
        Some("publish") => PUBLISH,
        Some("get") => GET,
        Some("history") => HISTORY,
        Some("status") => STATUS,
        Some("evacuate") => EVACUATE,
        Some("jobs") => JOBS,
        Some("explain") => EXPLAIN,
        Some("report") => REPORT,
        _ => OVERVIEW,
    }
}
