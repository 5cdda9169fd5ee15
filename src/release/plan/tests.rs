use super::*;

#[test]
fn every_target_is_in_one_stage_and_no_stage_is_empty_while_targets_remain() {
    let mut text = String::from(
        "name = \"a\"\nmanagement = \"127.0.0.1:1\"\nstate_dir = \"x\"\nstages = [1, 10, 50, 100]\n\
         services = [\"127.0.0.1:1\"]\nproxies = [\"127.0.0.1:2\"]\n",
    );
    for i in 0..7 {
        text += &format!(
            "[[upstreams]]\nold = \"s-{i}\"\nnew = {{ id = \"t-{i}\", host_port = \"127.0.0.1:9\", \
             phase = \"SERVING\" }}\n"
        );
    }
    let plan: Plan = configuration::parse(Path::new("plan"), &text).expect("a plan");
    assert_eq!(plan.fault(), None);
    assert_eq!(plan.stage_targets(), [0..1, 1..2, 2..4, 4..7]);
}
