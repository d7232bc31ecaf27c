//! The pages show what the code has.

use crate::gateway::metrics::METRIC_DESCRIPTIONS;

/// The sources of the serving role with its adapter.
const SOURCES: [&str; 2] = ["src/gateway", "src/platform"];

#[test]
fn metrics_page_shows_every_metric() {
    let page = std::fs::read_to_string("docs/METRICS.md").expect("the page exists");
    for row in METRIC_DESCRIPTIONS {
        let line = format!("| `rattanjunction_{}` | {} |", row.name, row.meaning);
        assert!(page.contains(&line), "{line}");
    }
}

#[test]
fn events_page_shows_every_message() {
    let page = std::fs::read_to_string("docs/EVENTS.md").expect("the page exists");
    let mut messages = Vec::new();
    for folder in SOURCES {
        for entry in std::fs::read_dir(folder).expect("the folder exists") {
            let path = entry.expect("the folder can be read").path();
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

/// The last text of each logging macro.
fn messages_of(text: &str) -> Vec<String> {
    let mut messages = Vec::new();
    for name in ["info!(", "warn!(", "error!(", "debug!("] {
        for (begin, _) in text.match_indices(name) {
            let call = &text[begin + name.len()..];
            let call = call.split(");").next().unwrap_or_default();
            let mut texts = call.rsplit('"');
            texts.next();
            messages.extend(texts.next().map(str::to_owned));
        }
    }
    messages
}
