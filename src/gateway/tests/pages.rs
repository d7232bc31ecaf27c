//! Checks that the pages under docs/ list every metric and log message of the code.

use crate::gateway::metrics::METRIC_DESCRIPTIONS;

/// The directories with the sources of the serving role and of its platform adapter.
const SOURCE_DIRECTORIES: [&str; 2] = ["src/gateway", "src/platform"];

#[test]
fn metrics_page_lists_every_metric() {
    let page = std::fs::read_to_string("docs/METRICS.md").expect("the page exists");
    for metric in METRIC_DESCRIPTIONS {
        let line = format!("| `rattanjunction_{}` | {} |", metric.name, metric.meaning);
        assert!(page.contains(&line), "{line}");
    }
}

#[test]
fn events_page_lists_every_message() {
    let page = std::fs::read_to_string("docs/EVENTS.md").expect("the page exists");
    let mut messages = Vec::new();
    for directory in SOURCE_DIRECTORIES {
        for entry in std::fs::read_dir(directory).expect("the directory exists") {
            let path = entry.expect("the directory can be read").path();
            if path.extension().is_some_and(|extension| extension == "rs") {
                let text = std::fs::read_to_string(&path).expect("the file can be read");
                messages.extend(messages_of(&text));
            }
        }
    }
    assert!(messages.len() > 20, "{messages:?}");
    for message in messages {
        assert!(page.contains(&format!("| `{message}` |")), "{message}");
    }
}

/// Returns the message of each logging macro: the last string literal in its arguments.
fn messages_of(text: &str) -> Vec<String> {
    let mut messages = Vec::new();
    for name in ["info!(", "warn!(", "error!(", "debug!("] {
        for (begin, _) in text.match_indices(name) {
            let call = &text[begin + name.len()..];
            let call = call.split(");").next().unwrap_or_default();
            let mut literals = call.rsplit('"');
            literals.next();
            messages.extend(literals.next().map(str::to_owned));
        }
    }
    messages
}
