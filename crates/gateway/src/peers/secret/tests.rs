use citrongw_fakes::kv::mem::{self, Fault};

use super::*;

#[tokio::test(start_paused = true)]
async fn first_gateway_generates_the_secret_and_all_read_the_same() {
    let store = mem::open();
    let first = read(&store).await.unwrap();
    assert_eq!(first.len(), SECRET_CHARS);
    assert_eq!(read(&store).await.unwrap(), first);
    store.set_fault(Fault::Down);
    assert!(read(&store).await.is_err());
}
