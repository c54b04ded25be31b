use std::future::poll_fn;

use http_body_util::StreamBody;

use super::*;

const BYTES: &[u8] = b"0123456789";

fn body(declared_bytes: Option<u64>) -> StreamedBody {
    let rest = futures::stream::iter([Ok::<_, BoxError>(Frame::data(Bytes::from(&BYTES[4..])))]);
    StreamedBody::new(Bytes::from(&BYTES[..4]), StreamBody::new(rest), declared_bytes)
}

async fn next(upload: &Upload) -> Option<Result<Bytes, BoxError>> {
    let frame = poll_fn(|cx| upload.poll_frame(cx)).await?;
    Some(frame.map(|it| it.into_data().unwrap()))
}

/// Guards against a request that carries what another one left of a body.
#[tokio::test]
async fn body_that_was_read_from_cannot_be_sent_again() {
    let body = body(Some(10));
    let first = body.begin_upload().unwrap();
    let second = body.begin_upload().unwrap();
    assert!(next(&first).await.unwrap().is_err(), "cancelled by the second");
    assert_eq!(next(&second).await.unwrap().unwrap(), "0123");
    assert!(body.begin_upload().is_none());
    assert!(next(&first).await.unwrap().is_err());
    assert_eq!(next(&second).await.unwrap().unwrap(), "456789");
    assert!(next(&second).await.is_none());
    assert!(second.handle().is_complete() && !first.handle().is_complete());
}

/// Guards against a part of a body that looks whole: the declared length binds.
#[tokio::test]
async fn upload_has_the_declared_length() {
    let whole = body(Some(10));
    assert_eq!(whole.begin_upload().unwrap().size_hint().exact(), Some(10));
    let unknown = body(None);
    assert_eq!(unknown.begin_upload().unwrap().size_hint().exact(), None);
}

#[tokio::test]
async fn upload_that_is_held_is_sent_once_it_is_released_and_ends_once_it_is_cancelled() {
    let body = body(None);
    let upload = body.begin_upload().unwrap();
    upload.hold();
    assert!(futures::poll!(std::pin::pin!(next(&upload))).is_pending());
    upload.handle().cancel();
    assert!(next(&upload).await.unwrap().is_err());
    assert_eq!(body.progress(), BodyProgress::NotStarted);
    let upload = body.begin_upload().unwrap();
    upload.hold();
    upload.handle().release();
    assert_eq!(next(&upload).await.unwrap().unwrap(), "0123");
    upload.handle().cancel();
    assert_eq!(next(&upload).await.unwrap().unwrap(), "456789");
}
