"""Experiments on the decisions in virtual time: scenarios by seeds by policies, and what they compare to.

irondrum lab run crowd rush --seeds 1-16 --policy ours,least --out before
irondrum lab compare before after
"""
