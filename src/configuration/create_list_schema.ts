import * as z from "zod";

/** Creates the schema of a read-only array of `item`. */
export function createListSchema<Item extends z.ZodType>(
  item: Item,
): z.ZodReadonly<z.ZodArray<Item>> {
  return z.array(item, { error: "an array" }).readonly();
}
