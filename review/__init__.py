"""An independent review: cases that break rules of the pages, each with its test."""
