"""The product round the node: command line and lab. It may import the other rooms, never the reverse."""
