use super::*;

#[test]
fn sizes_are_read_and_shown() {
    let size: MemorySize = "112MB".parse().unwrap();
    assert_eq!((size.bytes(), size.to_string().as_str()), (117_440_512, "112MB"));
    assert_eq!("16 MB".parse::<MemorySize>().unwrap().bytes(), 16_777_216);
}

#[test]
fn other_texts_are_no_sizes() {
    for text in ["", "MB", "15MB", "112", "-112MB", "1.5MB", "112KB", "112mb"] {
        assert_eq!(text.parse::<MemorySize>(), Err(InvalidSize), "{text}");
    }
}
