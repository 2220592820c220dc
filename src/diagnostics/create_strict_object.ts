import * as z from "zod";

/** Creates a schema of an object that refuses unknown fields and whose messages name the allowed ones. */
export function createStrictObject<Shape extends z.core.$ZodLooseShape>(
  shape: Shape,
): z.ZodObject<Shape, z.core.$strict> {
  return z.strictObject(shape, {
    error: (issue) =>
      issue.code === "unrecognized_keys"
        ? Object.keys(shape).map((key) => `"${key}"`).join(", ")
        : "an object",
  });
}
