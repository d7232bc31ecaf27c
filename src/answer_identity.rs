//! Which request an answer on a connection belongs to.

/// Whether an answer belongs to a request, by the id that it names.
///
/// A server may send an answer once more, late, where the next one is expected. An answer without an id
/// is therefore attributed only on a connection that has carried nothing else.
pub(crate) fn is_answer_to(request_id: &str, named: Option<&str>, is_first_use: bool) -> bool {
    named.map_or(is_first_use, |named| named == request_id)
}
