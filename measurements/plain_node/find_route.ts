import type { Route } from "../../src/configuration/route.ts";
import type { Snapshot } from "../../src/configuration/snapshot.ts";

/** Returns the first route whose path prefix matches, or undefined; hosts are not compared. */
export function findRoute(
  snapshot: Snapshot,
  path: string,
): Route | undefined {
  const pathname = path.split("?")[0] ?? "";
  return snapshot.routes.find((route) =>
    route.pathPrefix === "/" || pathname === route.pathPrefix ||
    pathname.startsWith(`${route.pathPrefix}/`)
  );
}
