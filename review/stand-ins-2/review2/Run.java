package review2;

/** Runs a case by its class name. A case that ends with an exception could not run. */
public final class Run {
  private Run() {}

  public static void main(String[] arguments) {
    try {
      Class.forName("review2." + arguments[0])
          .getDeclaredMethod("main", String[].class)
          .invoke(null, (Object) new String[] {arguments[1]});
    } catch (ReflectiveOperationException | RuntimeException e) {
      (e.getCause() == null ? e : e.getCause()).printStackTrace();
    }
    System.exit(World.NOT_RUN);
  }
}
