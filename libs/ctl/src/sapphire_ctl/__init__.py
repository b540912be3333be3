"""The command-line client of operators."""
