//! Success and failure of each command, run against a node in this process.

mod common;

use common::{check, ctl, ctl_as, spawn_demo};

#[tokio::test(flavor = "multi_thread")]
async fn read_commands_print_their_output() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let cases: [(&[&str], i32, &str); 20] = [
        (&["status"], 0, "takes new work"),
        (&["status", "--json"], 0, "\"ready\": true"),
        (&["profile", "list"], 0, "interactive"),
        (&["profile", "show", "interactive"], 0, "\"deadline_ms\": 30000"),
        (&["profile", "show", "nobody"], 1, "profile nobody does not exist"),
        (&["service", "list"], 0, "portal"),
        (&["replica", "list"], 0, "serving"),
        (&["replica", "show", "999999"], 1, "replica 999999 does not exist"),
        (&["replica", "drain", "999999"], 1, "replica 999999 does not exist"),
        (&["server", "return", "nobody", "--yes"], 1, "not found"),
        (&["server", "leave", "nobody"], 7, "takes no new work"),
        (&["node", "list"], 0, "yes"),
        (&["node", "stop", "00000000000000ff", "--yes"], 1, "not found"),
        (&["config", "show"], 0, "\"redacted\""),
        (&["config", "show", "999"], 1, "not found"),
        (&["config", "history"], 0, "version"),
        (&["explain", "refusals"], 0, ""),
        (&["explain", "request", "12"], 0, "has no record"),
        (&["dump"], 0, "\"redacted\""),
        (&["log", "citrongw=="], 1, "malformed"),
    ];
    for (args, code, text) in cases {
        let output = ctl(node, args).await;
        check(&output, code, text);
        assert!(!output.stdout.contains("thread"), "{output:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_printed_committed_and_waited_for() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let cases: [(&[&str], i32, &str); 10] = [
        (&["profile", "edit", "interactive", "deadline_ms=31000"], 0, "30000 -> 31000"),
        (&["profile", "edit", "interactive", "deadline_ms=31000"], 0, "nothing changes"),
        (&["profile", "edit", "interactive", "deadlin_ms=1"], 1, "deadlin_ms"),
        (&["profile", "edit", "interactive", "deadline_ms=1"], 1, "allowed up to deadline_ms"),
        (&["profile", "create", "night", "model=plans", "priority=low"], 0, "in force"),
        (&["profile", "create", "night", "model=plans"], 1, "profile night exists already"),
        (&["profile", "retire", "interactive"], 1, "in use by portal"),
        (&["service", "assign", "portal", "night"], 0, "in force"),
        (&["profile", "retire", "interactive"], 0, "in force"),
        (&["service", "assign", "portal", "interactive"], 1, "profile interactive does not exist"),
    ];
    for (args, code, text) in cases {
        check(&ctl(node, args).await, code, text);
    }
    let loaded = demo.node.shared().config.load_full().unwrap();
    assert_eq!(loaded.config.services[0].profile, "night".into());
    check(&ctl(node, &["config", "history"]).await, 0, "first-operator");
}

#[tokio::test(flavor = "multi_thread")]
async fn actions_on_replicas_and_instances_are_confirmed_and_recorded() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let replica = demo.node.shared().replicas.entries()[0].clone();
    let id = replica.spec.id.to_string();
    let instance = replica.spec.members[0].instance.to_string();
    check(&ctl(node, &["replica", "show", &id]).await, 0, "serving");
    check(&ctl(node, &["replica", "drain", &id]).await, 7, "keeps 1 of 2 replicas serving");
    check(&ctl(node, &["replica", "drain", &id, "--yes"]).await, 0, "disbanded");
    check(&ctl(node, &["server", "leave", &instance, "--yes"]).await, 0, "takes no new work");
    check(&ctl(node, &["server", "return", &instance, "--yes"]).await, 0, "may serve again");
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_stops_a_node() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let id = demo.node.shared().node.to_string();
    check(&ctl(node, &["node", "stop", &id]).await, 7, "finishes its work");
    let stopper = tokio::spawn(async move {
        demo.node.shared().stop_requested.notified().await;
        demo.node.stop().await;
    });
    check(&ctl(node, &["node", "stop", &id, "--yes"]).await, 0, "no longer responds");
    stopper.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn token_role_decides_which_commands_are_allowed() {
    let demo = spawn_demo().await;
    let node = demo.node.admin_addr();
    let loaded = demo.node.shared().config.load_full().unwrap();
    let mut config = loaded.config.clone();
    let operator = |id: &str, role| citrongw_state::config::Operator {
        id: id.into(),
        role,
        token_digest: citrongw_state::config::KeyDigest::of(id),
    };
    config.operators = vec![
        operator("reader", citrongw_state::config::Role::Read),
        operator("owner", citrongw_state::config::Role::Operate),
    ];
    let name = format!("citrongwctl-tokens-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, serde_json::to_string(&config).unwrap()).unwrap();
    let put = ["config", "put", path.to_str().unwrap()];
    // Once operators are configured, the initial token that wrote them is invalid.
    check(&ctl(node, &put).await, 4, "the token is no longer valid");
    std::fs::remove_file(&path).unwrap();

    let edit = ["profile", "edit", "interactive", "retries=1"];
    let cases: [(Option<&str>, &[&str], i32, &str); 6] = [
        (None, &["status"], 5, "no token"),
        (Some("wrong"), &["status"], 5, "unknown key"),
        (Some(citrongw::demo::DEMO_TOKEN), &["status"], 5, "unknown key"),
        (Some("reader"), &["status"], 0, "takes new work"),
        (Some("reader"), &edit, 5, "not allowed for this role"),
        (Some("owner"), &edit, 0, "in force"),
    ];
    for (token, args, code, text) in cases {
        check(&ctl_as(node, token, args).await, code, text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_arguments_and_unreachable_nodes_have_exit_codes() {
    let unreachable = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    check(&ctl(unreachable, &["status"]).await, 6, "could not reach a node: 127.0.0.1:9");
    check(&ctl(unreachable, &["statu"]).await, 2, "unknown subcommand");
    check(&ctl(unreachable, &["profile", "show"]).await, 2, "");
    check(&ctl(unreachable, &["--help"]).await, 0, "EXIT CODES");
    check(&ctl(unreachable, &["profile", "--help"]).await, 0, "retire");
}
