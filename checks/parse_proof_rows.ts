import * as z from "zod";
import type { ProofRow } from "./proof_row.ts";

const pointsSchema = z.array(z.strictObject({
  point: z.int(),
  promise: z.string(),
  failures: z.array(z.string()).min(1),
}));

/** Returns a row for each point and failure of `proof_points.json`. Throws if the text does not match the schema. */
export function parseProofRows(text: string): readonly ProofRow[] {
  return pointsSchema.parse(JSON.parse(text)).flatMap((entry) =>
    entry.failures.map((failure) => ({
      point: entry.point,
      promise: entry.promise,
      failure,
    }))
  );
}
