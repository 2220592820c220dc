import * as z from "zod";

/** Creates a schema of an array. */
export function createListSchema<Item extends z.ZodType>(
  item: Item,
): z.ZodReadonly<z.ZodArray<Item>> {
  return z.array(item, { error: "an array" }).readonly();
}
