import type { CallRoute } from "./call_route.ts";

/** The routes of one version, by host and then by path prefix. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, CallRoute>>;
