import type { CallRoute } from "./call_route.ts";

/** The routes of one version of the rules, by lower-case host and then by path prefix. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, CallRoute>>;
