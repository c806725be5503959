//! Limit on the descriptors that a process may have open.

/// File in which the system shows the limits of this process.
const LIMITS_FILE: &str = "/proc/self/limits";
const DESCRIPTORS_LINE: &str = "Max open files";

/// Returns how many descriptors this process may have open, if the system limits and shows them.
pub fn descriptor_limit() -> Option<usize> {
    parse_descriptor_limit(&std::fs::read_to_string(LIMITS_FILE).ok()?)
}

/// Returns the soft limit, which is the first number of the line.
fn parse_descriptor_limit(limits: &str) -> Option<usize> {
    let line = limits.lines().find_map(|line| line.strip_prefix(DESCRIPTORS_LINE))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_soft_limit_on_open_files_is_read() {
        let limits = "Limit        Soft Limit  Hard Limit  Units\nMax processes  95  96  processes\n\
                      Max open files            1024                 4096                 files     \n";
        assert_eq!(parse_descriptor_limit(limits), Some(1024));
        assert_eq!(parse_descriptor_limit("Max open files  unlimited  unlimited  files"), None);
        assert_eq!(parse_descriptor_limit(""), None);
    }
}
