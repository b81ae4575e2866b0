"""Experiments on the decision module in virtual time: scenarios, seeds and policies, and comparisons.

irondrum lab run crowd rush --seeds 1-16 --policy ours,least --out before
irondrum lab compare before after
"""
