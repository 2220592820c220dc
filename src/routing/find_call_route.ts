import type { CallRoute } from "./call_route.ts";
import type { RouteTable } from "./route_table.ts";

const portSuffix = /:\d+$/;

/**
 * Returns the route with the longest prefix that begins the path.
 *
 * @param target host header and request target; the query is left out of the match
 */
export function findCallRoute(
  table: RouteTable,
  target: { readonly host: string; readonly url: string },
): CallRoute | undefined {
  const host = target.host.toLowerCase();
  const prefixes = table.get(host) ?? table.get(host.replace(portSuffix, ""));
  if (prefixes === undefined) return undefined;
  const queryAt = target.url.indexOf("?");
  const path = queryAt < 0 ? target.url : target.url.slice(0, queryAt);
  // Prefixes end with a slash, so only the slashes of the path can end one.
  for (
    let end = path.lastIndexOf("/");
    end >= 0;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
  ) {
    const route = prefixes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
  }
  return undefined;
}
