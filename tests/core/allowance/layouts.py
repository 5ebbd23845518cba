"""Layouts of slots for the tests of allowances."""

SLOTS = ('a/0', 'a/1', 'b/0', 'c/0')
MORE_SLOTS = ('a/0', 'a/1', 'b/0', 'b/1', 'c/0', 'c/1')
FEWER_SLOTS = ('a/0', 'b/0', 'c/0')
TWO_SLOTS = ('a/0', 'b/0')
HOLDERS = ['n0', 'n0', 'n1', 'n2']
