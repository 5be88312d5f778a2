//! The command line of the scale run.

#![forbid(unsafe_code)]

fn main() {
    println!("scale");
}
