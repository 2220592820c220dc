import test from "ava";
import { rankByRendezvous } from "./rank_by_rendezvous.ts";

const names = Array.from({ length: 80 }, (_, index) => `vm-${index}`);

test("rankByRendezvous() does not depend on the order of the names", (t) => {
  t.deepEqual(
    rankByRendezvous("key", names),
    rankByRendezvous("key", names.toReversed()),
  );
});

test("rankByRendezvous() moves no other name when one goes", (t) => {
  names.forEach((gone) =>
    t.deepEqual(
      rankByRendezvous("key", names.filter((name) => name !== gone)),
      rankByRendezvous("key", names).filter((name) => name !== gone),
    )
  );
});

test("rankByRendezvous() spreads the first place over the names", (t) => {
  const keys = Array.from({ length: 2000 }, (_, index) => `key-${index}`);
  const winners = new Set(keys.map((key) => rankByRendezvous(key, names)[0]));
  t.is(winners.size, names.length);
});
