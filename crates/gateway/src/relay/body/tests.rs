use http_body_util::StreamBody;
use hyper::body::{Body as _, Frame};

use citrongw_transport::memory_budget::MemoryKind;

use super::{super::memory, *};

/// Guards against a body without a declared length that is longer than the limit and
/// looks whole where the limit cuts it.
#[tokio::test]
async fn body_of_unknown_length_gets_none_at_the_limit() {
    let limit = MAX_BUFFERED_BYTES + 1;
    let frames = [limit, 1].map(|bytes| Ok::<_, std::io::Error>(Bytes::from(vec![b'y'; bytes])));
    let body = Body::from_stream(futures::stream::iter(frames));
    let mut charge = memory::open(None, MemoryKind::Body);
    let read = read(body, limit, &mut charge).await.unwrap();
    let mut sent = read.begin_attempt().unwrap();
    assert_eq!(sent.size_hint().exact(), None);
    assert_eq!(sent.frame().await.unwrap().unwrap().into_data().unwrap().len(), limit);
    assert!(sent.frame().await.unwrap().is_err());
    assert!(read.is_too_large());
}

#[tokio::test]
async fn declared_length_counts_the_buffered_part() {
    let bytes = Bytes::from(vec![b'y'; 2 * MAX_BUFFERED_BYTES]);
    let frames = futures::stream::iter([Ok::<_, std::io::Error>(Frame::data(bytes.clone()))]);
    let body = StreamedBody::new(bytes.clone(), StreamBody::new(frames), Some(9));
    let body = CallBody::Streamed { body, start_hash: hash_start(&[], None) };
    assert_eq!(body.begin_attempt().unwrap().size_hint().exact(), Some(9));
}
