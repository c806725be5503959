//! Logging setup: to standard error, or to a file that is rotated by size, keeping a few old files.

use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::rolling_file::RollingFileAppender;
use log4rs::append::rolling_file::policy::compound::CompoundPolicy;
use log4rs::append::rolling_file::policy::compound::roll::fixed_window::FixedWindowRoller;
use log4rs::append::rolling_file::policy::compound::trigger::size::SizeTrigger;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

/// Reason why logging could not be set up.
pub type SetupError = Box<dyn std::error::Error + Send + Sync>;

/// Size in bytes at which a log file is rotated.
const MAX_FILE_BYTES: u64 = 16 * 1024 * 1024;
/// Number of rotated files that are kept.
const ROTATED_FILES: u32 = 4;

/// Sends log lines of a level and above to standard error, or to a file if one is named. Can be called only once in
/// a process.
pub fn setup(level: &str, file: &str) -> Result<(), SetupError> {
    let level: LevelFilter = level.parse()?;
    let encoder = Box::new(PatternEncoder::new("{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}"));
    let appender: Box<dyn Append> = if file.is_empty() {
        Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
    } else {
        let roller = FixedWindowRoller::builder().build(&format!("{file}.{{}}"), ROTATED_FILES)?;
        let policy = CompoundPolicy::new(Box::new(SizeTrigger::new(MAX_FILE_BYTES)), Box::new(roller));
        Box::new(RollingFileAppender::builder().encoder(encoder).build(file, Box::new(policy))?)
    };
    let config = Config::builder()
        .appender(Appender::builder().build("out", appender))
        .build(Root::builder().appender("out").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
