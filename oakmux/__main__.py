"""`python3 -m oakmux`."""

from oakmux.cli import main

if __name__ == "__main__":
    main(prog_name="oakmux")
