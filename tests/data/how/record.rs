//! Records a hand-over between two processes of this release.
mod scenario;
use scenario::play;

#[test]
fn record() {
    let to = std::env::var("RECORD_TO").expect("a folder");
    play(&"with e1=1 e2=2 e3=9:one:leaving operator=on
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 send m2 dest=9
         u2 expect 202
         u3 connect
         u4 connect
         u5 connect
         u5 send m5 dest=2 class=once
         u5 expect 202
         e2 expect m5
         e2 send m5 429 X-RateLimit-Wait-Ms:300
         wait full=1
         o cordon e2 200
         record TO
         upgrade
         wait inherited=3 open=3
         e1 send m1 200
         wait delivered=1
         u3 send m3
         u3 expect 202 close
         e1 expect m3
         old o cordon e1 200
         old o cordon nobody 404
         old o uncordon e1 200
         e1 send m3 429 X-RateLimit-Wait-Ms:200
         e1 expect m3
         e1 send m3 200
         u4 send m4 class=once
         u4 expect 202
         e1 expect m4
         e1 send m4 200
         wait delivered=3
         p send e3=active
         e3 expect m2
         e3 send m2 200
         old o quiesce 200
         old o resume 200
         old term
         old exit".replace("TO", &to));
}
