import test from "ava";
import { CallKind } from "./call_kind.ts";
import type { CallRoute } from "./call_route.ts";
import { createRouteTable } from "./create_route_table.ts";
import { findCallRoute } from "./find_call_route.ts";

function createRoute(
  name: string,
  host: string,
  pathPrefix: string,
): CallRoute {
  return {
    name,
    host,
    pathPrefix,
    kind: CallKind.Idempotent,
    attemptsMaximum: 2,
    timeoutMilliseconds: 1_000,
    goalMilliseconds: 400,
    priority: 2,
    isPublic: false,
    targets: [{ service: "vitrine", weight: 1 }],
  };
}

const table = createRouteTable([
  createRoute("cakes", "shop.example", "/cakes/"),
  createRoute("wedding", "shop.example", "/cakes/wedding/"),
  createRoute("other", "desk.example", "/"),
]);

const find = (host: string, url: string) =>
  findCallRoute(table, { host, url })?.name;

test("the longest prefix of the path wins", (t) => {
  t.is(find("shop.example", "/cakes/1"), "cakes");
  t.is(find("shop.example", "/cakes/wedding/1"), "wedding");
  t.is(find("shop.example", "/cakes/weddings"), "cakes");
  t.is(find("desk.example", "/any/thing"), "other");
});

test("a path without the slash that ends the prefix does not match", (t) => {
  t.is(find("shop.example", "/cakes"), undefined);
  t.is(find("shop.example", "/bread/"), undefined);
  t.is(find("nobody.example", "/cakes/1"), undefined);
});

test("slashes in the query are not part of the path", (t) => {
  t.is(find("shop.example", "/cakes/x?back=/cakes/wedding/"), "cakes");
  t.is(find("shop.example", "/?to=/cakes/"), undefined);
});

test("hosts match regardless of case and port", (t) => {
  t.is(find("Shop.Example:8304", "/cakes/1"), "cakes");
});
