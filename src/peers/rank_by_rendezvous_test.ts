import test from "ava";
import { rankByRendezvous } from "./rank_by_rendezvous.ts";

const names = Array.from({ length: 80 }, (_, index) => `vm-${index}`);

test("rankByRendezvous() does not depend on the order of the names", (t) => {
  t.deepEqual(
    rankByRendezvous("key", names),
    rankByRendezvous("key", names.toReversed()),
  );
});

test("rankByRendezvous() keeps the order of the other names when one is removed", (t) => {
  names.forEach((removed) =>
    t.deepEqual(
      rankByRendezvous("key", names.filter((name) => name !== removed)),
      rankByRendezvous("key", names).filter((name) => name !== removed),
    )
  );
});

test("rankByRendezvous() spreads the first rank over the names", (t) => {
  const keys = Array.from({ length: 2000 }, (_, index) => `key-${index}`);
  const winners = new Set(keys.map((key) => rankByRendezvous(key, names)[0]));
  t.is(winners.size, names.length);
});
