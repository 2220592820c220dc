import type { Route } from "../configuration/route.ts";

/** Returns the first route that fits the host (without port, lower case) and path. */
export function findRoute(
  routes: readonly Route[],
  host: string,
  path: string,
): Route | undefined {
  return routes.find((route) =>
    (route.host === undefined || route.host === host) &&
    isPathUnder(path, route.pathPrefix)
  );
}

function isPathUnder(path: string, prefix: string): boolean {
  if (prefix === "/") {
    return true;
  }
  return path.startsWith(prefix) &&
    (path.length === prefix.length || path[prefix.length] === "/" ||
      prefix.endsWith("/"));
}
